package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// WriteTable writes the result as a table.
func (r *Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "KIND\tCALLS\tANSWERED\tON TIME\tNOT RUN\tUNKNOWN\tFAILED\tBROKEN\tRESENDS\tDIFFERING\tP50\tP99\tP99.9\tHIGHEST\t")
	for _, k := range r.Kinds {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%v\t\n", k.Kind, k.Calls, k.Answered,
			k.OnTime, k.NotRun, k.Unknown, k.Failed, k.Broken, k.Resends, k.Differing,
			short(k.P50), short(k.P99), short(k.P999), short(k.Highest))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if r.Skipped > 0 {
		_, err := fmt.Fprintf(w, "%d calls were not begun, because %d were outstanding\n", r.Skipped, maxOutstanding)
		return err
	}
	return nil
}

func short(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

// Plot writes a picture of each kind's latencies by percentile to a PNG file.
func (r *Result) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Latency from when a call was due"
	p.X.Label.Text = "calls answered, %"
	p.Y.Label.Text = "milliseconds"
	p.Legend.Top = true
	p.Legend.Left = true
	for i, k := range r.Kinds {
		var points plotter.XYs
		for percent := 1.0; percent <= 100; percent++ {
			points = append(points, plotter.XY{X: percent, Y: float64(k.quantile(percent)) / float64(time.Millisecond)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return oops.Wrapf(err, "plot %s", k.Kind)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(k.Kind, line)
	}
	return oops.Wrapf(p.Save(plotWidth, plotHeight, path), "write %s; name a file ending in .png in a folder that exists", path)
}
