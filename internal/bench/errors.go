package bench

import "github.com/joomcode/errorx"

var (
	// fieldlab prints the namespace in its error messages, so it does not follow the name
	// of the package.
	namespace     = errorx.NewNamespace("drill")
	badFileError  = namespace.NewType("bad_file")
	badTraceError = namespace.NewType("bad_trace")
	callError     = namespace.NewType("call_failed")
)
