package callerhttp

import (
	"encoding/json"
	"strings"
)

// completionFormat implements the differences between chat and text completions.
type completionFormat interface {
	// prompt converts the input of the request to a single prompt text.
	prompt(body *completionRequest) (string, error)
	// idPrefix returns the prefix of response IDs.
	idPrefix() string
	// object returns the "object" value of a chunk of a stream or of a complete response.
	object(chunk bool) string
	// fullChoice returns the choice of a complete response.
	fullChoice(text, finish string) chatChoice
	// deltaChoice returns the choice of a chunk of a stream.
	deltaChoice(text string, finish *string) chatChoice
}

type chatFormat struct{}

func (chatFormat) prompt(body *completionRequest) (string, error) {
	if len(body.Messages) == 0 {
		return "", invalidRequest("missing_messages", "messages", "at least one message is required")
	}
	var prompt strings.Builder
	for _, message := range body.Messages {
		if message.Role == "" {
			return "", invalidRequest("missing_role", "messages", "each message needs a role")
		}
		prompt.WriteString("<|" + message.Role + "|>\n")
		prompt.WriteString(string(message.Content))
		prompt.WriteString("\n")
	}
	prompt.WriteString("<|assistant|>\n")
	return prompt.String(), nil
}

func (chatFormat) idPrefix() string { return "chatcmpl-" }

func (chatFormat) object(chunk bool) string {
	if chunk {
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

func (chatFormat) fullChoice(text, finish string) chatChoice {
	return chatChoice{Message: &replyText{Role: "assistant", Content: text}, FinishReason: &finish}
}

func (chatFormat) deltaChoice(text string, finish *string) chatChoice {
	return chatChoice{Delta: &deltaText{Content: text}, FinishReason: finish}
}

type textFormat struct{}

func (textFormat) prompt(body *completionRequest) (string, error) {
	var single string
	if err := json.Unmarshal(body.Prompt, &single); err == nil && single != "" {
		return single, nil
	}
	var list []string
	if err := json.Unmarshal(body.Prompt, &list); err == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", invalidRequest("invalid_prompt", "prompt", "the prompt must be one non-empty text")
}

func (textFormat) idPrefix() string { return "cmpl-" }

func (textFormat) object(bool) string { return "text_completion" }

func (textFormat) fullChoice(text, finish string) chatChoice {
	return chatChoice{Text: &text, FinishReason: &finish}
}

func (textFormat) deltaChoice(text string, finish *string) chatChoice {
	return chatChoice{Text: &text, FinishReason: finish}
}
