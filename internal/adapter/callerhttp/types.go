package callerhttp

import (
	"encoding/json"
	"strings"
)

// completionRequest is the body of /v1/chat/completions and /v1/completions.
// Other fields of the OpenAI API that do not affect routing are accepted and
// ignored.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Stop                stringOrList    `json:"stop"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	Seed                *int64          `json:"seed"`
	User                string          `json:"user"`
	N                   *int            `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string         `json:"role"`
	Content messageContent `json:"content"`
	Name    string         `json:"name,omitempty"`
}

// messageContent is the text of a message. In JSON it is a string or a list of
// parts, whose texts are concatenated.
type messageContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *messageContent) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = messageContent(text)
		return nil
	}
	var parts []struct {
		Type     string `json:"type"`
		Text     string `json:"text"`
		ImageURL *struct {
			URL string `json:"url"`
		} `json:"image_url"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var joined strings.Builder
	for _, part := range parts {
		joined.WriteString(part.Text)
		if part.ImageURL != nil {
			joined.WriteString("<image " + part.ImageURL.URL + ">")
		}
	}
	*c = messageContent(joined.String())
	return nil
}

// stringOrList is a list of strings that decodes from "x" as well as from ["x", "y"].
type stringOrList []string

// UnmarshalJSON implements json.Unmarshaler.
func (s *stringOrList) UnmarshalJSON(data []byte) error {
	var single string
	if err := json.Unmarshal(data, &single); err == nil {
		*s = stringOrList{single}
		return nil
	}
	return json.Unmarshal(data, (*[]string)(s))
}

// usageBody holds the token counts in the format of the OpenAI API.
type usageBody struct {
	PromptTokens        int            `json:"prompt_tokens"`
	CompletionTokens    int            `json:"completion_tokens"`
	TotalTokens         int            `json:"total_tokens"`
	PromptTokensDetails *promptDetails `json:"prompt_tokens_details,omitempty"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type chatChoice struct {
	Index        int        `json:"index"`
	Message      *replyText `json:"message,omitempty"`
	Delta        *deltaText `json:"delta,omitempty"`
	Text         *string    `json:"text,omitempty"`
	Logprobs     *struct{}  `json:"logprobs"`
	FinishReason *string    `json:"finish_reason"`
}

type replyText struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type deltaText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

// errorBody is the error object of the OpenAI API, extended by the run state.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Run says whether the request may have been run: not_run or unknown.
	Run       string `json:"run"`
	RequestID string `json:"request_id,omitempty"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
