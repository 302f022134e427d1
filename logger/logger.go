// Package logger writes numbered log events. Each package defines its events once,
// which lets docs/EVENTS.md list all of them and operators search by number.
package logger

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields are the values logged with an event. Keys are in kebab case.
type Fields = logrus.Fields

// Event is a kind of log entry. The meaning of its number must never change.
type Event struct {
	Number int
	Level  logrus.Level
	// Message is the text of each log entry.
	Message string
	// Meaning explains the event to operators in docs/EVENTS.md.
	Meaning string
}

var catalogue = struct {
	sync.Mutex
	events map[int]Event
}{events: map[int]Event{}}

// Define adds an event to the catalogue. It panics if the number is already taken.
func Define(number int, level logrus.Level, message, meaning string) Event {
	catalogue.Lock()
	defer catalogue.Unlock()
	if _, taken := catalogue.events[number]; taken {
		panic(fmt.Sprintf("event %d defined twice", number))
	}
	event := Event{Number: number, Level: level, Message: message, Meaning: meaning}
	catalogue.events[number] = event
	return event
}

// Catalogue returns all defined events, sorted by number.
func Catalogue() []Event {
	catalogue.Lock()
	defer catalogue.Unlock()
	events := make([]Event, 0, len(catalogue.events))
	for _, event := range catalogue.events {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Logger writes the events of one node.
type Logger struct {
	entry *logrus.Entry
	// queue buffers the lines; nil means that they are written synchronously.
	queue *Queue
}

// New returns a logger that writes events of at least the given severity as JSON
// lines, each with the given fields.
func New(output io.Writer, level logrus.Level, fields Fields) *Logger {
	log := logrus.New()
	log.SetOutput(output)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Logger{entry: log.WithFields(fields)}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(io.Discard, logrus.PanicLevel, nil)
}

// Log writes or queues one event, or ignores it below the logger's level.
func (l *Logger) Log(event Event, fields Fields) {
	if !l.entry.Logger.IsLevelEnabled(event.Level) {
		return
	}
	if l.queue == nil {
		l.entry.WithField("event", event.Number).WithFields(fields).Log(event.Level, event.Message)
		return
	}
	line, err := l.formatLine(event, fields)
	if err != nil {
		line = fmt.Appendf(nil, "{\"event\":%d,\"error\":%q}\n", event.Number, err.Error())
	}
	l.queue.enqueue(line, event.Level <= logrus.WarnLevel)
}
