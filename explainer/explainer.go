// Package explainer reads the logs of several nodes and prints what happened to one
// request: its own log lines in order of time, merged with the lines about the back
// ends it was sent to.
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

// Line is one parsed log line.
type Line struct {
	At      time.Time
	Node    string
	Event   int
	Message string
	// Fields are the other fields by key, without level and data-centre.
	Fields map[string]any
}

// lookback is how long before the request's first line a line about one of its back
// ends is still shown: about as long as a back end is avoided after a failure.
const lookback = 3 * time.Second

// maxLineBytes bounds a log line. At a longer line, Read stops without an error and
// counts one skipped line.
const maxLineBytes = 1 << 20

// Collector gathers the log lines relevant to one request.
type Collector struct {
	request      string
	requestLines []Line
	// memberLines are the lines that name a back end and no request.
	memberLines []Line
	// accountLines are the lines that name an account and no request.
	accountLines []Line
	skipped      int
}

// New returns a collector for the request with the given id.
func New(request string) *Collector {
	return &Collector{request: request}
}

// Read adds the lines of one log. It ignores text before a line's JSON object, such
// as a log collector's timestamp, and lines without a "{". It counts a line whose
// object is not a valid event as skipped. It fails if log cannot be read.
func (c *Collector) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		c.addLine(scanner.Bytes())
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		c.skipped++
		return nil
	}
	return scanner.Err()
}

func (c *Collector) addLine(text []byte) {
	start := slices.Index(text, '{')
	if start < 0 {
		return
	}
	line, ok := parseLine(text[start:])
	switch {
	case !ok:
		c.skipped++
	case line.Fields["request"] == c.request:
		c.requestLines = append(c.requestLines, line)
	case line.Fields["request"] == nil && line.Fields["member"] != nil:
		c.memberLines = append(c.memberLines, line)
	case line.Fields["request"] == nil && line.Fields["account"] != nil:
		c.accountLines = append(c.accountLines, line)
	}
}

func parseLine(text []byte) (Line, bool) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return Line{}, false
	}
	at, _ := fields["time"].(string)
	timestamp, err := time.Parse(time.RFC3339Nano, at)
	event, isEvent := fields["event"].(float64)
	if err != nil || !isEvent {
		return Line{}, false
	}
	line := Line{At: timestamp, Event: int(event), Fields: fields}
	line.Node, _ = fields["node"].(string)
	line.Message, _ = fields["msg"].(string)
	for _, name := range []string{"time", "event", "node", "msg", "level", "data-centre"} {
		delete(fields, name)
	}
	return line, true
}

// Timeline returns the request's lines and the lines about its back ends, from
// lookback before the request's first line to its last line, in order of time. If the
// request was refused as its account was over the quota, it has the lines about the account
// too. It returns nil if the request has no lines.
func (c *Collector) Timeline() []Line {
	timeline := slices.Clone(c.requestLines)
	if len(timeline) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(timeline, byTime)
	from, until := timeline[0].At.Add(-lookback), timeline[len(timeline)-1].At
	members := membersOf(timeline)
	for _, line := range c.memberLines {
		member, _ := line.Fields["member"].(string)
		if members[member] && !line.At.Before(from) && !line.At.After(until) {
			timeline = append(timeline, line)
		}
	}
	accounts := overQuotaAccounts(timeline)
	for _, line := range c.accountLines {
		if accounts[line.Fields["account"]] && !line.At.Before(from) && !line.At.After(until) {
			timeline = append(timeline, line)
		}
	}
	slices.SortStableFunc(timeline, byTime)
	return timeline
}

// overQuotaAccounts returns the accounts of the lines that say that an account was over its quota.
func overQuotaAccounts(lines []Line) map[any]bool {
	accounts := map[any]bool{}
	for _, line := range lines {
		if line.Fields["reason"] == "over-quota" {
			accounts[line.Fields["account"]] = true
		}
	}
	return accounts
}

// membersOf returns the set of back ends named in lines.
func membersOf(lines []Line) map[string]bool {
	members := map[string]bool{}
	for _, line := range lines {
		for _, name := range []string{"member", "prefill", "decode"} {
			if member, ok := line.Fields[name].(string); ok {
				members[member] = true
			}
		}
		tried, _ := line.Fields["tried"].([]any)
		for _, value := range tried {
			if member, ok := value.(string); ok {
				members[member] = true
			}
		}
	}
	return members
}

// Skipped returns the number of lines that could not be parsed.
func (c *Collector) Skipped() int { return c.skipped }

// Print writes a timeline to w, each line with its time since the first one.
func Print(w io.Writer, timeline []Line) error {
	for _, line := range timeline {
		if _, err := fmt.Fprintf(w, "%+9.3fs  %-18s %d %s\n", line.At.Sub(timeline[0].At).Seconds(), line.Node, line.Event, line.Message); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "            %s\n", formatFields(line.Fields)); err != nil {
			return err
		}
	}
	return nil
}

func formatFields(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if name == "request" {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}
