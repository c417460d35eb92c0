package callerhttp

import (
	"encoding/json"
	"strings"
)

// style is what differs between chat and text completions.
type style interface {
	// prompt flattens the request to one text.
	prompt(body *completionRequest) (string, error)
	// idPrefix starts the ID of the answer.
	idPrefix() string
	// object names the answer, whole or as a chunk of a stream.
	object(chunk bool) string
	// whole returns the choice of a whole answer.
	whole(text, finish string) chatChoice
	// delta returns the choice of a chunk.
	delta(text string, finish *string) chatChoice
}

type chatStyle struct{}

func (chatStyle) prompt(body *completionRequest) (string, error) {
	if len(body.Messages) == 0 {
		return "", invalid("missing_messages", "messages", "at least one message is required")
	}
	var prompt strings.Builder
	for _, message := range body.Messages {
		if message.Role == "" {
			return "", invalid("missing_role", "messages", "each message needs a role")
		}
		prompt.WriteString("<|" + message.Role + "|>\n")
		prompt.WriteString(string(message.Content))
		prompt.WriteString("\n")
	}
	prompt.WriteString("<|assistant|>\n")
	return prompt.String(), nil
}

func (chatStyle) idPrefix() string { return "chatcmpl-" }

func (chatStyle) object(chunk bool) string {
	if chunk {
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

func (chatStyle) whole(text, finish string) chatChoice {
	return chatChoice{Message: &replyText{Role: "assistant", Content: text}, FinishReason: &finish}
}

func (chatStyle) delta(text string, finish *string) chatChoice {
	return chatChoice{Delta: &deltaText{Content: text}, FinishReason: finish}
}

type textStyle struct{}

func (textStyle) prompt(body *completionRequest) (string, error) {
	var one string
	if err := json.Unmarshal(body.Prompt, &one); err == nil && one != "" {
		return one, nil
	}
	var list []string
	if err := json.Unmarshal(body.Prompt, &list); err == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", invalid("invalid_prompt", "prompt", "the prompt must be one non-empty text")
}

func (textStyle) idPrefix() string { return "cmpl-" }

func (textStyle) object(bool) string { return "text_completion" }

func (textStyle) whole(text, finish string) chatChoice {
	return chatChoice{Text: &text, FinishReason: &finish}
}

func (textStyle) delta(text string, finish *string) chatChoice {
	return chatChoice{Text: &text, FinishReason: finish}
}
