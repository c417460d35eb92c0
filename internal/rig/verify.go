package rig

import (
	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/standin/engine"
)

// Verify reports whether text is the complete answer of a stand-in engine to a
// chat with one message, the prompt of the call.
func Verify(call load.Call, text string) bool {
	prompt := "<|user|>\n" + call.Prompt + "\n<|assistant|>\n"
	return text == engine.Answer(call.Model, "", prompt, call.MaxTokens)
}
