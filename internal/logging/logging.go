// Package logs sets up structured logs: zap behind log/slog, so that call sites
// know slog alone.
package logs

import (
	"io"
	"log/slog"

	"go.uber.org/zap"
	"go.uber.org/zap/exp/zapslog"
	"go.uber.org/zap/zapcore"
)

// Level can be changed while the program runs.
var Level = zap.NewAtomicLevelAt(zapcore.InfoLevel)

// Set makes w the default log's target, as text or JSON.
func Set(w io.Writer, json bool) {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	c.EncodeLevel = zapcore.CapitalLevelEncoder
	encoder := zapcore.NewConsoleEncoder(c)
	if json {
		c.EncodeLevel = zapcore.LowercaseLevelEncoder
		encoder = zapcore.NewJSONEncoder(c)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), Level)
	slog.SetDefault(slog.New(zapslog.NewHandler(core, zapslog.AddStacktraceAt(slog.LevelError+1))))
}

// SetLevel changes the level: debug, info, warn or error.
func SetLevel(name string) error {
	l, err := zapcore.ParseLevel(name)
	if err == nil {
		Level.SetLevel(l)
	}
	return err
}
