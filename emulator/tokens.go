package emulator

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the stand-in's tokenizer: a token for every four bytes.
const bytesPerToken = 4

// countTokens returns the number of tokens of a text, at least one.
func countTokens(text string) int {
	return max(1, (len(text)+bytesPerToken-1)/bytesPerToken)
}

// vocabulary holds words that make tokens of exactly bytesPerToken bytes with the
// space before them, so that an answer counts the same as a part of a prompt.
var vocabulary = strings.Fields(`air bag bay bed box cap cup dew dry dam end fan far few gap gas
	hot ice ink jar key lid log low mid new now oak oil old one out pad pan per pot
	raw red rim run sea set six sky sum sun tap ten tin top two use van vat wax web
	wet wry zip arc ash bin day eve`)

// nextToken is the stand-in's model. It depends on the text so far only, so that
// generation that goes on elsewhere yields the same tokens.
func nextToken(text string) string {
	return " " + vocabulary[xxhash.Sum64String(text)%uint64(len(vocabulary))]
}

// Follows tells whether an engine of a variant generates a token after a text.
func Follows(variant, text, token string) bool {
	return nextToken(variant+text) == token
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
