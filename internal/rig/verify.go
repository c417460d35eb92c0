package rig

import (
	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/standin/engine"
)

// Verify reports whether a text is the whole answer of a stand-in engine to a
// chat of one message.
func Verify(call load.Call, text string) bool {
	prompt := "<|user|>\n" + call.Prompt + "\n<|assistant|>\n"
	return text == engine.Answer(call.Model, "", prompt, call.MaxTokens)
}
