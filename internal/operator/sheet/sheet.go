package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// The columns of a sheet, in the order of the documentation.
const (
	columnRow        = "row"
	columnService    = "service"
	columnName       = "name"
	columnWeight     = "weight"
	columnDeadline   = "deadline"
	columnLength     = "length"
	columnIdempotent = "idempotent"
	columnState      = "state"
)

// The kinds of row.
const (
	rowKind     = "kind"
	rowRegion   = "region"
	rowUpstream = "upstream"
)

// The states of an upstream row.
const (
	stateLeaving = "leaving"
	stateGone    = "gone"
)

const (
	maxWeight     = 1000
	maxDeadline   = 24 * time.Hour
	maxSheetBytes = 1 << 20
	byteOrderMark = "\xef\xbb\xbf"
)

var columns = []string{
	columnRow, columnService, columnName, columnWeight,
	columnDeadline, columnLength, columnIdempotent, columnState,
}

// Fault is one fault of a sheet.
type Fault struct {
	// Row is the line of the sheet, beginning at one.
	Row    int
	Column string
	Remedy string
}

// Error names the row, the column and the remedy.
func (f Fault) Error() string {
	if f.Column == "" {
		return fmt.Sprintf("row %d: %s", f.Row, f.Remedy)
	}
	return fmt.Sprintf("row %d, column %s: %s", f.Row, f.Column, f.Remedy)
}

// Faults lists every fault of a sheet.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Parse reads a sheet and returns the services that it names, or Faults.
func Parse(data []byte) ([]reducer.ServicePlan, error) {
	if len(data) > maxSheetBytes {
		return nil, Faults{{Row: 1, Remedy: fmt.Sprintf("the sheet is larger than %d bytes; export only the plan's rows", maxSheetBytes)}}
	}
	p := &parser{seen: map[string]int{}, first: map[string]int{}}
	p.read(bytes.TrimPrefix(data, []byte(byteOrderMark)))
	p.finish()
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b Fault) int { return a.Row - b.Row })
		return nil, p.faults
	}
	return p.services, nil
}

// parser collects services and faults.
type parser struct {
	services []reducer.ServicePlan
	faults   Faults
	columns  map[string]int
	seen     map[string]int
	// first holds the row in which each service stands first.
	first map[string]int
	line  int
	cells []string
}

func (p *parser) fault(column, format string, args ...any) {
	p.faults = append(p.faults, Fault{Row: p.line, Column: column, Remedy: fmt.Sprintf(format, args...)})
}

func (p *parser) read(data []byte) {
	reader := csv.NewReader(bytes.NewReader(data))
	reader.FieldsPerRecord = -1
	for {
		cells, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		var syntax *csv.ParseError
		if errors.As(err, &syntax) {
			p.line = syntax.Line
			p.fault("", "%v; export the sheet as comma-separated values again", syntax.Err)
			return
		}
		p.line, _ = reader.FieldPos(0)
		p.cells = cells
		p.readRow()
	}
}

func (p *parser) readRow() {
	if !slices.ContainsFunc(p.cells, func(c string) bool { return strings.TrimSpace(c) != "" }) {
		return
	}
	if p.columns == nil {
		p.readHeader()
		return
	}
	service := p.service()
	switch row := strings.ToLower(p.cell(columnRow)); row {
	case rowKind:
		p.readKind(service)
	case rowRegion:
		p.readRegion(service)
	case rowUpstream:
		p.readUpstream(service)
	default:
		p.fault(columnRow, "%q is no kind of row; write %s, %s or %s", row, rowKind, rowRegion, rowUpstream)
	}
}

func (p *parser) readHeader() {
	p.columns = map[string]int{}
	for i, cell := range p.cells {
		name := strings.ToLower(strings.TrimSpace(cell))
		switch {
		case name == "":
			continue
		case !slices.Contains(columns, name):
			p.fault(name, "no such column; use %s", strings.Join(columns, ", "))
		default:
			if _, twice := p.columns[name]; twice {
				p.fault(name, "the column stands twice; remove one")
			}
			p.columns[name] = i
		}
	}
	for _, name := range columns {
		if _, ok := p.columns[name]; !ok {
			p.fault(name, "the column is missing; the first row names the columns %s", strings.Join(columns, ", "))
		}
	}
}

func (p *parser) cell(column string) string {
	i, ok := p.columns[column]
	if !ok || i >= len(p.cells) {
		return ""
	}
	return strings.TrimSpace(p.cells[i])
}

// service returns the row's service, which may be new.
func (p *parser) service() *reducer.ServicePlan {
	name := p.cell(columnService)
	if name == "" || strings.ContainsAny(name, "/ ?#%") || name == "-" {
		p.fault(columnService, "%q is no service; write a name that can begin a path", name)
		return &reducer.ServicePlan{}
	}
	for i := range p.services {
		if p.services[i].Name == name {
			return &p.services[i]
		}
	}
	p.services = append(p.services, reducer.ServicePlan{Name: name})
	p.first[name] = p.line
	return &p.services[len(p.services)-1]
}

// once reports a row that stands twice.
func (p *parser) once(what, service, name string) {
	key := what + "\x00" + service + "\x00" + name
	if first, twice := p.seen[key]; twice {
		p.fault(columnName, "%s %q of %s stands in row %d already; remove one", what, name, service, first)
		return
	}
	p.seen[key] = p.line
}

func (p *parser) readKind(service *reducer.ServicePlan) {
	kind := reducer.Kind{
		Name: p.cell(columnName), Weight: p.weight(1), Allowance: p.allowance(),
		Length: p.length(), Idempotent: p.idempotent(),
	}
	if kind.Name == "" {
		p.fault(columnName, "name the kind of request")
	}
	p.empty(columnState)
	p.once(rowKind, service.Name, kind.Name)
	service.Kinds = append(service.Kinds, kind)
}

func (p *parser) readRegion(service *reducer.ServicePlan) {
	region := reducer.RegionWeight{Region: p.cell(columnName), Weight: p.weight(0)}
	if region.Region == "" {
		p.fault(columnName, "name the region")
	}
	p.empty(columnDeadline, columnLength, columnIdempotent, columnState)
	p.once(rowRegion, service.Name, region.Region)
	service.Regions = append(service.Regions, region)
}

func (p *parser) readUpstream(service *reducer.ServicePlan) {
	address := p.cell(columnName)
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		p.fault(columnName, "%q is no upstream; write its IP number and port, such as 10.0.0.7:8080", address)
	}
	p.empty(columnWeight, columnDeadline, columnLength, columnIdempotent)
	p.once(rowUpstream, service.Name, address)
	switch state := strings.ToLower(p.cell(columnState)); state {
	case stateLeaving:
		service.Leaving = append(service.Leaving, address)
	case stateGone:
		service.Gone = append(service.Gone, address)
	default:
		p.fault(columnState, "%q is no state; write %s, or %s once the VM is off", state, stateLeaving, stateGone)
	}
}

func (p *parser) weight(least int) int {
	text := p.cell(columnWeight)
	n, err := strconv.Atoi(text)
	if err != nil || n < least || n > maxWeight {
		p.fault(columnWeight, "%q is no weight; write a whole number from %d to %d", text, least, maxWeight)
	}
	return n
}

func (p *parser) allowance() time.Duration {
	text := p.cell(columnDeadline)
	d, err := time.ParseDuration(strings.ReplaceAll(text, " ", ""))
	if err != nil || d <= 0 || d > maxDeadline {
		p.fault(columnDeadline, "%q is no deadline; write it such as 250ms, 2s or 10m", text)
	}
	return d
}

func (p *parser) length() reducer.Length {
	text := strings.ToLower(p.cell(columnLength))
	length := reducer.Length(text)
	if length != reducer.LengthShort && length != reducer.LengthLong {
		p.fault(columnLength, "%q is no length; write %s or %s", text, reducer.LengthShort, reducer.LengthLong)
	}
	return length
}

func (p *parser) idempotent() bool {
	text := strings.ToLower(p.cell(columnIdempotent))
	switch text {
	case "yes", "true":
		return true
	case "no", "false":
		return false
	}
	p.fault(columnIdempotent, "%q is neither yes nor no; write yes only if running the request twice does no harm", text)
	return false
}

// empty reports cells that a kind of row does not use.
func (p *parser) empty(names ...string) {
	for _, name := range names {
		if value := p.cell(name); value != "" {
			p.fault(name, "%q has no meaning in a %s row; leave the cell empty", value, p.cell(columnRow))
		}
	}
}

// finish checks the sheet as a whole.
func (p *parser) finish() {
	if p.columns == nil {
		p.line = 1
		p.fault("", "the sheet is empty; the first row names the columns %s", strings.Join(columns, ", "))
		return
	}
	for _, service := range p.services {
		if len(service.Kinds) == 0 {
			p.line = p.first[service.Name]
			p.fault(columnService, "service %q has no %s row; add one for each kind of request", service.Name, rowKind)
		}
	}
}
