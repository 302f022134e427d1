package emulator

import (
	"encoding/json"
	"strings"
)

// maximumTemperature is the highest temperature that the API allows.
const maximumTemperature = 2

// fault returns why the engine rejects the request, or "" if it is valid.
func (c completionRequest) fault() string {
	switch {
	case c.Temperature < 0 || c.Temperature > maximumTemperature:
		return "temperature must lie from 0 to 2"
	case c.MinTokens > c.MaxTokens:
		return "min_tokens must not be larger than max_tokens"
	case c.StreamOptions != nil && !c.Stream:
		return "stream_options need stream"
	default:
		return ""
	}
}

// chatContent is a message's text, encoded as one string or a list of parts.
type chatContent string

// UnmarshalJSON decodes a string, or joins the texts of a list of parts.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var joined strings.Builder
	for _, part := range parts {
		joined.WriteString(part.Text)
	}
	*c = chatContent(joined.String())
	return nil
}

// wireError is an error answer in the format of the OpenAI API.
type wireError struct {
	Error wireErrorBody `json:"error"`
}

type wireErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}
