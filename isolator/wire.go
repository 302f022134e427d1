package isolator

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// maxMessageBytes is the gossip's size limit.
	maxMessageBytes = 512
	// maxPartsPerMessage keeps a message below maxMessageBytes.
	maxPartsPerMessage = 24
)

// wireEvidence is one observation. Its ages are used instead of times because the nodes'
// clocks differ.
type wireEvidence struct {
	ID    evidenceID `json:"id"`
	Parts partList   `json:"parts,omitempty"`
	// PartCount is the number of parts of a crash report, of which this message may have some.
	PartCount int `json:"part-count,omitempty"`
	// Member is the engine that crashed, in a crash report.
	Member identifier.Member `json:"member,omitempty"`
	// Trial is the combination whose trial started. Without it and Member, a request ran well.
	Trial combinationKey `json:"trial,omitempty"`
	// AgeMilliseconds is how long ago the crash was, the answer began or the trial started.
	AgeMilliseconds int64 `json:"age-milliseconds"`
	// SentAgeMilliseconds, of a crash report, is how long ago the request was sent.
	SentAgeMilliseconds int64 `json:"sent-age-milliseconds,omitempty"`
}

// isValid reports whether the ages are in bounds. It must be called before they are used as
// durations.
func (w wireEvidence) isValid(oldest time.Duration) bool {
	return w.AgeMilliseconds >= 0 && w.AgeMilliseconds <= oldest.Milliseconds() &&
		w.SentAgeMilliseconds >= 0 && w.SentAgeMilliseconds <= oldest.Milliseconds()
}

// wire returns the messages about a report.
func (r crashReport) wire(now time.Time, id evidenceID) []wireEvidence {
	return splitParts(r.parts, wireEvidence{
		ID: id, PartCount: r.count, Member: r.member,
		AgeMilliseconds: now.Sub(r.endedAt).Milliseconds(), SentAgeMilliseconds: now.Sub(r.sentAt).Milliseconds(),
	})
}

// wire returns the messages that a request with some parts ran well.
func (r soundRun) wire(now time.Time, parts []Part) []wireEvidence {
	return splitParts(parts, wireEvidence{ID: r.id, AgeMilliseconds: now.Sub(r.began).Milliseconds()})
}

// splitParts returns copies of a message which together have some parts.
func splitParts(parts []Part, message wireEvidence) []wireEvidence {
	var messages []wireEvidence
	for chunk := range slices.Chunk(parts, maxPartsPerMessage) {
		message.Parts = chunk
		messages = append(messages, message)
	}
	return messages
}

// packEvidence groups observations into messages below maxMessageBytes.
func packEvidence(messages []wireEvidence) [][]wireEvidence {
	var batches [][]wireEvidence
	for _, message := range messages {
		if last := len(batches) - 1; last >= 0 && fitsMessage(append(slices.Clip(batches[last]), message)) {
			batches[last] = append(batches[last], message)
			continue
		}
		batches = append(batches, []wireEvidence{message})
	}
	return batches
}

func fitsMessage(batch []wireEvidence) bool {
	payload, err := json.Marshal(wireMessage{Evidence: batch})
	return err == nil && len(payload) <= maxMessageBytes
}

// partList is a list of parts in messages. It takes 11 bytes a part in JSON, half as many as
// numbers do.
type partList []Part

const partBytes = 8

var errPartList = errors.New("a list of parts has an odd length")

// MarshalText encodes the parts in base64.
func (l partList) MarshalText() ([]byte, error) {
	content := make([]byte, 0, partBytes*len(l))
	for _, part := range l {
		content = binary.BigEndian.AppendUint64(content, uint64(part))
	}
	return base64.RawStdEncoding.AppendEncode(nil, content), nil
}

// UnmarshalText decodes what MarshalText encodes.
func (l *partList) UnmarshalText(text []byte) error {
	content, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return err
	}
	if len(content)%partBytes != 0 {
		return errPartList
	}
	*l = (*l)[:0]
	for ; len(content) > 0; content = content[partBytes:] {
		*l = append(*l, Part(binary.BigEndian.Uint64(content)))
	}
	return nil
}
