package kernel

import (
	"runtime"

	"go.uber.org/zap"

	"cyclamenrelay.example/meter"
)

// CatchRuntimeError stops a panic with a run-time error, such as an index out of range, in
// the function that defers it: it logs and counts the error and calls onError. Other
// panics go on: they report a broken invariant, which must end the process.
func CatchRuntimeError(log *zap.Logger, doing string, onError func()) {
	e := recover()
	if e == nil {
		return
	}
	err, ok := e.(runtime.Error)
	if !ok {
		panic(e)
	}
	meter.HandlerErrors().Inc()
	log.Error("run-time error", zap.String("doing", doing), zap.Error(err), zap.Stack("stack"))
	onError()
}
