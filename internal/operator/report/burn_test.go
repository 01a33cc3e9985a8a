package report

import (
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

func row(service, kind string, good, bad uint64, burn float64) reducer.BurnRow {
	r := reducer.BurnRow{Service: service, Kind: kind}
	for _, window := range reducer.BurnWindows() {
		r.Windows = append(r.Windows, reducer.BurnWindow{Window: window, Good: good, Bad: bad, Burn: burn})
	}
	return r
}

func TestMergeBurnWeighsNodesByTheirCalls(t *testing.T) {
	c := qt.New(t)
	merged := MergeBurn([][]reducer.BurnRow{
		{row("roster", "sign", 90, 10, 100), row("roster", "read", 1, 0, 0)},
		{row("roster", "sign", 300, 0, 0)},
	})
	c.Assert(merged, qt.HasLen, 2)
	c.Assert(merged[0].Kind, qt.Equals, "read")
	c.Assert(merged[1].Windows[0], qt.DeepEquals, reducer.BurnWindow{Window: time.Minute, Good: 390, Bad: 10, Burn: 25})
}

func TestWriteBurnNamesEveryKind(t *testing.T) {
	c := qt.New(t)
	var text strings.Builder
	c.Assert(WriteBurn(&text, []reducer.BurnRow{row("roster", "sign", 90, 10, 2.5)}), qt.IsNil)
	c.Assert(text.String(), qt.Matches, `(?s).*BURN 30m.*roster +sign +90 +10 +2\.50.*`)
}

func TestPlotBurnWritesAPicture(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "burn.png")
	c.Assert(PlotBurn(path, []reducer.BurnRow{row("roster", "sign", 90, 10, 2.5), row("roster", "read", 90, 1, 0.5)}), qt.IsNil)
	file, err := os.Open(path)
	c.Assert(err, qt.IsNil)
	defer func() { _ = file.Close() }()
	picture, err := png.Decode(file)
	c.Assert(err, qt.IsNil)
	c.Assert(picture.Bounds().Dx() > 300, qt.IsTrue)
}
