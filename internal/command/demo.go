package command

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	fleetdemo "github.com/croftyard/croftyard/internal/demo"
	"github.com/croftyard/croftyard/platform"
)

type demo struct {
	Port   int    `default:"8080" help:"Callers' port of the first router; the other ports follow it. 0 picks free ones."`
	Routes bool   `help:"Show routers that serve configured routes; ports from the given one + 100 on."`
	Logs   string `default:"/tmp/croftyard-demo" type:"path" help:"Folder of the routers' logs, with --routes."`
	Level  string `default:"warning" enum:"debug,info,warning,error" help:"Log level."`
}

const (
	demoRouters = 3
	demoEngines = 6
	demoReady   = 10 * time.Second
)

// Run implements the command.
func (c *demo) Run(s *streams) error {
	level, err := logrus.ParseLevel(c.Level)
	if err != nil {
		return usageError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	start, cancel := context.WithTimeout(ctx, demoReady)
	defer cancel()
	if c.Routes {
		return c.showRoutes(ctx, start, s.out)
	}
	fleet, err := fleetdemo.Start(start, fleetdemo.Options{Routers: demoRouters, Engines: demoEngines, Port: c.Port, Level: level, Log: s.err})
	if err != nil {
		return err
	}
	defer fleet.Close()
	printDemo(s.out, fleet)
	<-ctx.Done()
	return nil
}

// routesPort is the first port of the demo of routes beyond the given one.
const routesPort = 100

// showRoutes runs routers that serve routes until ctx ends.
func (c *demo) showRoutes(ctx, start context.Context, out io.Writer) error {
	fleet, err := fleetdemo.StartRoutes(start, fleetdemo.RoutesOptions{Port: c.Port + routesPort, Level: logrus.InfoLevel, Logs: c.Logs})
	if err != nil {
		return err
	}
	defer fleet.Close()
	for _, r := range fleet.Routers {
		callers, readiness := r.Addresses()
		fmt.Fprintf(out, "router  callers %s  readiness %s\n", callers, readiness)
	}
	callers, _ := fleet.Routers[0].Addresses()
	names := platform.Dialect()
	fmt.Fprintf(out, "logs in %s\n\nready; try:\n  curl -isN http://%s/generate/x -H '%s: %s%s' -H '%s: first' -d 'the lock is open'\n",
		c.Logs, callers, names.Key, names.KeyScheme, fleetdemo.Key, names.AttemptID)
	fmt.Fprintf(out, "and, while it runs:\n  curl -X POST %s\n", fleet.CrashURL("first"))
	<-ctx.Done()
	return nil
}

func printDemo(out io.Writer, fleet *fleetdemo.Fleet) {
	for _, i := range fleet.Routers {
		a := i.Addresses()
		fmt.Fprintf(out, "router  callers %s  admin %s\n", a.Callers, a.Admin)
	}
	fmt.Fprintf(out, "platform %s\n\n", fleet.PlatformURL())
	fmt.Fprintf(out, "ready; try:\n  curl -isN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '%s'\n",
		fleet.Routers[0].Addresses().Callers, fleetdemo.Key,
		`{"model":"drafting","stream":true,"messages":[{"role":"user","content":"the lock is open"}]}`)
}
