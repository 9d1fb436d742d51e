package bench

import "github.com/joomcode/errorx"

var (
	namespace     = errorx.NewNamespace("drill")
	badFileError  = namespace.NewType("bad_file")
	badTraceError = namespace.NewType("bad_trace")
	callError     = namespace.NewType("call_failed")
)
