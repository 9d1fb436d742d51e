package lab

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("lab")
	badFile   = namespace.NewType("bad_file")
	badTrace  = namespace.NewType("bad_trace")
	callError = namespace.NewType("call_failed")
)
