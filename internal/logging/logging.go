// Package logging sets up structured logs, zap behind log/slog, so that call sites know
// slog alone; and it throttles lines that may come in floods. It starts no goroutine.
package logging

import (
	"io"
	"log/slog"

	"go.uber.org/zap"
	"go.uber.org/zap/exp/zapslog"
	"go.uber.org/zap/zapcore"
)

// level can be changed while the program runs.
var level = zap.NewAtomicLevelAt(zapcore.InfoLevel)

// Setup makes w the target of slog's default logger, as lines of text or of JSON.
func Setup(w io.Writer, json bool) {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	config.EncodeLevel = zapcore.CapitalLevelEncoder
	encoder := zapcore.NewConsoleEncoder(config)
	if json {
		config.EncodeLevel = zapcore.LowercaseLevelEncoder
		encoder = zapcore.NewJSONEncoder(config)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level)
	slog.SetDefault(slog.New(zapslog.NewHandler(core, zapslog.AddStacktraceAt(slog.LevelError+1))))
}

// SetLevel changes the least level that is logged: debug, info, warn or error. Any other
// name is an error and changes nothing.
func SetLevel(name string) error {
	parsed, err := zapcore.ParseLevel(name)
	if err != nil {
		return err
	}
	level.SetLevel(parsed)
	return nil
}
