package drill

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("drill")
	badFile   = namespace.NewType("bad_file")
	badTrace  = namespace.NewType("bad_trace")
	callError = namespace.NewType("call_failed")
)
