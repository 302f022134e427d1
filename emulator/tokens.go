package emulator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the stand-in's tokenizer: a token for every four bytes.
const bytesPerToken = 4

// countTokens returns the number of tokens of a text, at least one.
func countTokens(text string) int {
	return max(1, (len(text)+bytesPerToken-1)/bytesPerToken)
}

var vocabulary = strings.Fields(`relative humidity rose fell steady above below limit
	case shelf north south cabinet seal gasket silica sensor night morning weekend
	excursion percent hour within target after before opening closed restored drift`)

// nextToken is the stand-in's model. It depends on the text so far only, so that
// generation that goes on elsewhere yields the same tokens.
func nextToken(text string) string {
	hash := xxhash.Sum64String(text)
	word := vocabulary[hash%uint64(len(vocabulary))]
	return " " + word + "-" + strconv.FormatUint(hash>>56, 10)
}

// Generate returns the whole answer of an engine to a prompt: tokens in order.
func Generate(prompt string, tokens int) []string {
	answer := make([]string, 0, tokens)
	var text strings.Builder
	text.WriteString(prompt)
	for range tokens {
		token := nextToken(text.String())
		text.WriteString(token)
		answer = append(answer, token)
	}
	return answer
}
