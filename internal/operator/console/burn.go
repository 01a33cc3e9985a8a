package console

import (
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// BurnRows returns the rows that a response holds.
func BurnRows(resp *BurnResponse) []reducer.BurnRow {
	var rows []reducer.BurnRow
	for _, s := range resp.GetSeries() {
		row := reducer.BurnRow{Service: s.GetService(), Kind: s.GetKind()}
		for _, w := range s.GetWindows() {
			row.Windows = append(row.Windows, reducer.BurnWindow{
				Window: time.Duration(w.GetWindowSeconds()) * time.Second,
				Good:   w.GetGood(), Bad: w.GetBad(), Burn: w.GetBurn(),
			})
		}
		rows = append(rows, row)
	}
	return rows
}
