package event

import (
	"runtime/debug"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// ErrPanic is the error of a call that panicked.
var ErrPanic = errors.New("unexpected failure in the daemon")

// ContainPanic is deferred by functions that process one message of another process. It ends a panic,
// so that a message that triggers a programming error affects neither other messages nor the process,
// logs it with its stack, and calls failed, which may be nil.
func (l *Logger) ContainPanic(part string, failed func()) {
	value := recover()
	if value == nil {
		return
	}
	l.logPanic(part, value)
	if failed != nil {
		failed()
	}
}

// ContainError is ContainPanic for functions that return an error; a panic sets it to ErrPanic.
func (l *Logger) ContainError(part string, err *error) {
	value := recover()
	if value == nil {
		return
	}
	l.logPanic(part, value)
	*err = ErrPanic
}

func (l *Logger) logPanic(part string, value any) {
	l.Log(PanicContained, zap.String("part", part), zap.Any("value", value), zap.ByteString("stack", debug.Stack()))
}
