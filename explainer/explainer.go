// Package explainer reads the logs of several nodes and tells what happened to one
// request: every line that touches it in the order of time, and what the nodes
// came to believe meanwhile of the back ends that it met.
package explainer

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Node    string
	Event   int
	Message string
	// Fields are the other fields by name.
	Fields map[string]any
}

// context is how long before a request's first line beliefs about its back ends
// matter: about as long as a back end is avoided after a failure.
const context = 3 * time.Second

// maximumLine bounds one line; longer ones are skipped.
const maximumLine = 1 << 20

// Collector gathers the lines that may matter for one request.
type Collector struct {
	request string
	// touching are the request's own lines, others those about back ends.
	touching []Line
	others   []Line
	skipped  int
}

// New returns a collector for a request's id.
func New(request string) *Collector {
	return &Collector{request: request}
}

// Read takes the lines of one log in. Text before a line's object, such as a
// collector's time, is passed over; lines that are no objects are counted.
func (c *Collector) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maximumLine)
	for scanner.Scan() {
		c.take(scanner.Bytes())
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		c.skipped++
		return nil
	}
	return scanner.Err()
}

func (c *Collector) take(text []byte) {
	start := slices.Index(text, '{')
	if start < 0 {
		return
	}
	line, ok := parse(text[start:])
	switch {
	case !ok:
		c.skipped++
	case line.Fields["request"] == c.request:
		c.touching = append(c.touching, line)
	case line.Fields["request"] == nil && line.Fields["member"] != nil:
		c.others = append(c.others, line)
	}
}

func parse(text []byte) (Line, bool) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return Line{}, false
	}
	at, _ := fields["time"].(string)
	moment, err := time.Parse(time.RFC3339Nano, at)
	event, isEvent := fields["event"].(float64)
	if err != nil || !isEvent {
		return Line{}, false
	}
	line := Line{At: moment, Event: int(event), Fields: fields}
	line.Node, _ = fields["node"].(string)
	line.Message, _ = fields["msg"].(string)
	for _, name := range []string{"time", "event", "node", "msg", "level", "data-centre"} {
		delete(fields, name)
	}
	return line, true
}

// Timeline returns the lines that touch the request, and those about the back ends
// that it met from shortly before it until its end, in the order of time.
func (c *Collector) Timeline() []Line {
	timeline := slices.Clone(c.touching)
	if len(timeline) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(timeline, byTime)
	from, until := timeline[0].At.Add(-context), timeline[len(timeline)-1].At
	met := membersOf(timeline)
	for _, line := range c.others {
		member, _ := line.Fields["member"].(string)
		if met[member] && !line.At.Before(from) && !line.At.After(until) {
			timeline = append(timeline, line)
		}
	}
	slices.SortStableFunc(timeline, byTime)
	return timeline
}

// membersOf lists the back ends that some lines name.
func membersOf(lines []Line) map[string]bool {
	met := map[string]bool{}
	for _, line := range lines {
		for _, name := range []string{"member", "prefill", "decode"} {
			if member, ok := line.Fields[name].(string); ok {
				met[member] = true
			}
		}
		tried, _ := line.Fields["tried"].([]any)
		for _, one := range tried {
			if member, ok := one.(string); ok {
				met[member] = true
			}
		}
	}
	return met
}

// Skipped counts the lines that could not be read.
func (c *Collector) Skipped() int { return c.skipped }

// Print writes a timeline, each line with the time since the first.
func Print(w io.Writer, timeline []Line) error {
	for _, line := range timeline {
		if _, err := fmt.Fprintf(w, "%+9.3fs  %-18s %d %s\n", line.At.Sub(timeline[0].At).Seconds(), line.Node, line.Event, line.Message); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "            %s\n", fieldsText(line.Fields)); err != nil {
			return err
		}
	}
	return nil
}

func fieldsText(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if name == "request" {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}
