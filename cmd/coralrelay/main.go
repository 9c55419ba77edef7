// Command coralrelay is one node of the load balancer: it accepts clients' connections, lets the
// decision module choose an endpoint for each, and relays until either side ends.
//
// serve runs the node in stages: it opens the listener, builds the components, starts them, accepts
// clients until SIGTERM, and drains. The node's WaitGroup counts the goroutines of the components,
// which end with the context passed to start, after the drain: the event loop, the discovery watch,
// the reload on SIGHUP, the sibling monitor, the receiver of handed-over sessions, the admin server,
// the agent client, the UDP listeners, and the three goroutines of token resumption. The goroutine
// that accepts clients ends when the drain closes the listener, and those of the sessions end with
// downstream.Server.Close.
//
// An error from serve ends the process with exit code 1; its text names the key, variable, file
// or address that is at fault.
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

// version returns the module version, the commit and the Go version that the build recorded.
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
	// The signals are caught first of all, because unhandled, SIGHUP or SIGTERM would end the process.
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	terminate := watchTermination()
	logging.Setup(os.Stderr, false)
	serveFile := func(operatorPath string) error { return loadAndServe(terminate, sighups, operatorPath) }
	if err := runCommand(os.Args[1:], os.Stdout, serveFile); err != nil {
		slog.Error("node failed", "component", componentNode, "error", err)
		os.Exit(1)
	}
}

const description = `One node of a load balancer for connections that last from seconds to minutes.

The platform configures a node with the JSON file that $BALANCER_CONFIG names; $BALANCER_NAME,
$BALANCER_LISTEN and $BALANCER_DISCOVERY override the file. SIGHUP reloads both files, SIGTERM
migrates the sessions and exits. README.md documents the keys.`

// loadAndServe loads the configuration and runs the node. operatorPath is the path of the operator's
// file; it is empty if there is none.
func loadAndServe(terminate context.Context, sighups <-chan os.Signal, operatorPath string) error {
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
	return serve(terminate, sighups, cfg, operatorFile, operatorPath)
}
