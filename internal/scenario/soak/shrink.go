package soak

import (
	"context"
	"slices"

	"coralrelay/internal/scenario/testbed"
)

// maxShrinkRuns limits the number of runs that search for a smaller trace.
const maxShrinkRuns = 24

// PlayAndShrink plays a run. If the run breaks a rule, it replays parts of the trace and returns
// the result of the smallest part found that breaks the same rule. The trace of that part is
// written to Options.LogDir.
func PlayAndShrink(ctx context.Context, options Options) (*testbed.Result, error) {
	result, err := Play(ctx, options)
	if err != nil || len(result.Violations) == 0 {
		return result, err
	}
	rule := result.Violations[0].Rule
	trace := options.Trace
	if trace == nil {
		trace = drawTrace(&options)
	}
	runs := 0
	for size := (len(trace.Faults) + 1) / 2; size > 0; size /= 2 {
		for from := 0; from+size <= len(trace.Faults) && runs < maxShrinkRuns; {
			smaller := &Trace{Seed: trace.Seed,
				Faults: slices.Delete(slices.Clone(trace.Faults), from, from+size)}
			options.Trace = smaller
			tried, err := Play(ctx, options)
			if err != nil {
				return result, err
			}
			runs++
			isBroken := slices.ContainsFunc(tried.Violations, func(v testbed.Violation) bool {
				return v.Rule == rule
			})
			if !isBroken {
				from += size
				continue
			}
			trace, result = smaller, tried
		}
	}
	if options.LogDir != "" {
		err = trace.write(options.LogDir)
	}
	return result, err
}
