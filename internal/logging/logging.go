// Package logging configures structured logs, with zap as the backend of log/slog, so that call
// sites depend on slog only. It also rate-limits events that may occur in bursts. It starts no
// goroutine.
package logging

import (
	"io"
	"log/slog"

	"go.uber.org/zap"
	"go.uber.org/zap/exp/zapslog"
	"go.uber.org/zap/zapcore"
)

// level is the minimum level that is logged. It can be changed at run time.
var level = zap.NewAtomicLevelAt(zapcore.InfoLevel)

// Setup directs slog's default logger to w, as text lines or as JSON.
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

// SetLevel sets the minimum level that is logged: debug, info, warn or error. For any other name it
// returns an error and leaves the level unchanged.
func SetLevel(name string) error {
	parsed, err := zapcore.ParseLevel(name)
	if err != nil {
		return err
	}
	level.SetLevel(parsed)
	return nil
}
