package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	barWidth   = 14
)

// MergeBurn adds up the burn of several nodes.
func MergeBurn(nodes [][]reducer.BurnRow) []reducer.BurnRow {
	var merged []reducer.BurnRow
	for _, rows := range nodes {
		for _, row := range rows {
			at := slices.IndexFunc(merged, func(m reducer.BurnRow) bool {
				return m.Service == row.Service && m.Kind == row.Kind
			})
			if at < 0 {
				row.Windows = slices.Clone(row.Windows)
				merged = append(merged, row)
				continue
			}
			for i := range merged[at].Windows {
				merged[at].Windows[i] = addWindows(merged[at].Windows[i], row.Windows[i])
			}
		}
	}
	slices.SortFunc(merged, func(a, b reducer.BurnRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	return merged
}

// addWindows adds two nodes' counts; the burn is the mean weighted by calls.
func addWindows(a, b reducer.BurnWindow) reducer.BurnWindow {
	callsA := float64(a.Good + a.Bad)
	callsB := float64(b.Good + b.Bad)
	sum := reducer.BurnWindow{Window: a.Window, Good: a.Good + b.Good, Bad: a.Bad + b.Bad}
	if callsA+callsB > 0 {
		sum.Burn = (a.Burn*callsA + b.Burn*callsB) / (callsA + callsB)
	}
	return sum
}

// PlotBurn writes a picture of the service-level burn to a PNG file.
func PlotBurn(path string, rows []reducer.BurnRow) error {
	p := plot.New()
	p.Title.Text = "Service-level burn"
	p.Y.Label.Text = "burn (1 spends the error budget exactly)"
	p.Legend.Top = true
	var names []string
	for _, row := range rows {
		names = append(names, row.Service+"/"+row.Kind)
	}
	for i, window := range reducer.BurnWindows() {
		values := make(plotter.Values, len(rows))
		for j, row := range rows {
			if i < len(row.Windows) {
				values[j] = row.Windows[i].Burn
			}
		}
		if len(values) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return oops.Wrapf(err, "plot the burn of the last %v", window)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(reducer.BurnWindows())-1)/2))
		p.Add(bars)
		p.Legend.Add("last "+shortDuration(window), bars)
	}
	if len(names) > 0 {
		p.NominalX(names...)
	}
	return oops.Wrapf(p.Save(plotWidth, plotHeight, path), "write %s; name a file ending in .png in a folder that exists", path)
}

// WriteBurn writes the service-level burn as a table.
func WriteBurn(w io.Writer, rows []reducer.BurnRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(table, "SERVICE\tKIND\t")
	for _, window := range reducer.BurnWindows() {
		_, _ = fmt.Fprintf(table, "GOOD %s\tBAD %s\tBURN %s\t", shortDuration(window), shortDuration(window), shortDuration(window))
	}
	_, _ = fmt.Fprintln(table)
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t", row.Service, row.Kind)
		for _, window := range row.Windows {
			_, _ = fmt.Fprintf(table, "%d\t%d\t%.2f\t", window.Good, window.Bad, window.Burn)
		}
		_, _ = fmt.Fprintln(table)
	}
	return table.Flush()
}

func shortDuration(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", int(d.Hours()))
	}
	return fmt.Sprintf("%dm", int(d.Minutes()))
}
