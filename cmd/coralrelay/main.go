// Command coralrelay is one node: it takes callers' connections, has the
// decision module choose a next hop for each, and relays until either side ends.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"coralrelay/internal/config"
	"coralrelay/internal/logging"
	"coralrelay/internal/operatorconfig"
)

// version is what the build knows of its commit.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, changed := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+changes"
		}
	}
	return info.Main.Version + " " + revision + changed + " " + info.GoVersion
}

func main() {
	// Caught from the first moment on: unhandled, either would end the process.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	// Never given back: another one in the last moment would cut the end in good order short.
	terminate, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	logging.Setup(os.Stderr, false)
	if err := runCommand(os.Args[1:], os.Stdout, func(file string) error { return loadAndServe(terminate, hangUps, file) }); err != nil {
		slog.Error("coralrelay", "err", err)
		os.Exit(1)
	}
}

const description = `One node of a load balancer for connections that live from seconds to minutes.

The platform tells a node what it needs in the JSON file that $BALANCER_CONFIG names; $BALANCER_NAME,
$BALANCER_LISTEN and $BALANCER_DISCOVERY win over the file. SIGHUP reads both files again, SIGTERM
moves the connections and ends. README.md has the keys.`

// start reads the files and serves. file is the operator's own, empty for none.
func loadAndServe(terminate context.Context, hangUps <-chan os.Signal, operatorPath string) error {
	operatorFile := operatorconfig.Default()
	if operatorPath != "" {
		var err error
		if operatorFile, err = operatorconfig.Load(operatorPath); err != nil {
			return err
		}
		logging.Setup(os.Stderr, operatorFile.Log.Format == "json")
		if err := logging.SetLevel(operatorFile.Log.Level); err != nil {
			return err
		}
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	applyProcessLimits(cfg.Limits)
	return serve(terminate, hangUps, cfg, operatorFile, operatorPath)
}
