package main

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/standin/experiment"
)

// experimentCommand compares schedulers in virtual time.
func experimentCommand() command {
	sub := flaggy.NewSubcommand("experiment")
	sub.Description = "compare schedulers in virtual time: a table, CSV and plots"
	o := experiment.Options{Seed: 1, Parallel: 4}
	out, trace := "out/experiment", false
	var deployments, scenarios, policies string
	gateways := "8,30"
	sub.String(&deployments, "d", "deployments", "deployments to run, with commas between; all by default")
	sub.String(&scenarios, "s", "scenarios", "scenarios to run; all by default")
	sub.String(&policies, "p", "policies", "policies to run; all by default")
	sub.String(&gateways, "g", "gateways", "numbers of gateways")
	sub.UInt64(&o.Seed, "", "seed", "seed of the load and the engines")
	sub.Int(&o.Parallel, "", "parallel", "runs at the same time")
	sub.String(&out, "o", "out", "folder for the CSV file and the plots")
	sub.Bool(&trace, "", "trace", "write every first token to trace.csv, too")
	run := func(context.Context) error {
		o.Deployments, o.Scenarios, o.Policies = splitList(deployments), splitList(scenarios), splitList(policies)
		for _, n := range splitList(gateways) {
			count, err := strconv.Atoi(n)
			if err != nil {
				return errors.Wrapf(err, "number of gateways %q", n)
			}
			o.Gateways = append(o.Gateways, count)
		}
		return runExperiment(o, out, trace)
	}
	return command{sub: sub, run: run}
}

func runExperiment(o experiment.Options, out string, trace bool) error {
	figures := experiment.Run(o)
	if err := experiment.WriteTable(os.Stdout, figures); err != nil {
		return err
	}
	if err := experiment.WriteGoals(os.Stdout, figures); err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return errors.Wrap(err, "make the output folder")
	}
	if err := writeFile(filepath.Join(out, "figures.csv"), figures, experiment.WriteCSV); err != nil {
		return err
	}
	if trace {
		if err := writeFile(filepath.Join(out, "trace.csv"), figures, experiment.WriteTrace); err != nil {
			return err
		}
	}
	return experiment.WritePlots(out, figures)
}

// writeFile writes the figures to a file by write.
func writeFile(name string, fs []experiment.Figures, write func(w io.Writer, fs []experiment.Figures) error) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create an output file")
	}
	if err := write(f, fs); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "close an output file")
}

// splitList splits a flag's value at its commas; an empty value is an empty list.
func splitList(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}
