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

	"github.com/alecthomas/kong"

	"coralrelay/internal/config"
	"coralrelay/internal/logs"
	"coralrelay/internal/operator"
)

// cli is the command line. Without a command the node serves.
type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Serve, as told by the environment and the file that BALANCER_CONFIG names (default)."`
	Version versionCmd `cmd:"" help:"Print the version and end."`
}

type serveCmd struct {
	Config string `placeholder:"FILE" help:"The operator's own file, CUE or JSON; without it all that goes beyond the platform is off."`
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("coralrelay", version())
	return nil
}

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
	terminate, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logs.Set(os.Stderr, false)
	k := kong.Parse(&cli{}, kong.Name("coralrelay"), kong.Description(about),
		kong.BindTo(terminate, (*context.Context)(nil)), kong.Bind((<-chan os.Signal)(hangUps)))
	if err := k.Run(); err != nil {
		slog.Error("coralrelay", "err", err)
		os.Exit(1)
	}
}

const about = `One node of a load balancer for connections that live from seconds to minutes.

The platform tells a node what it needs in the JSON file that $BALANCER_CONFIG names; $BALANCER_NAME,
$BALANCER_LISTEN and $BALANCER_DISCOVERY win over the file. SIGHUP reads both files again, SIGTERM
moves the connections and ends. README.md has the keys.`

func (c *serveCmd) Run(terminate context.Context, hangUps <-chan os.Signal) error {
	own := operator.Default()
	if c.Config != "" {
		var err error
		if own, err = operator.Load(c.Config); err != nil {
			return err
		}
		logs.Set(os.Stderr, own.Log.Format == "json")
		if err := logs.SetLevel(own.Log.Level); err != nil {
			return err
		}
	}
	platform, err := config.Load(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	limit(platform.Limits)
	return serve(terminate, hangUps, platform, own, c.Config)
}
