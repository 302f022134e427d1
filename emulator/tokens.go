package emulator

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the length of a token: the fake tokenizer counts bytes only.
const bytesPerToken = 4

// countTokens returns the number of tokens in text, rounded up, at least one.
func countTokens(text string) int {
	return max(1, (len(text)+bytesPerToken-1)/bytesPerToken)
}

// vocabulary holds three-letter words. With a leading space each is bytesPerToken
// long, so an answer has the same token count when it is part of a prompt.
var vocabulary = strings.Fields(`air bag bay bed box cap cup dew dry dam end fan far few gap gas
	hot ice ink jar key lid log low mid new now oak oil old one out pad pan per pot
	raw red rim run sea set six sky sum sun tap ten tin top two use van vat wax web
	wet wry zip arc ash bin day eve`)

// nextToken returns the token that the fake model generates after text. It depends
// on text alone, so another engine that resumes generation yields the same tokens.
func nextToken(text string) string {
	return " " + vocabulary[xxhash.Sum64String(text)%uint64(len(vocabulary))]
}

// Follows reports whether an engine of the variant generates token after text.
func Follows(variant, text, token string) bool {
	return nextToken(variant+text) == token
}

// Generate returns the first tokens that an engine without a variant generates.
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
