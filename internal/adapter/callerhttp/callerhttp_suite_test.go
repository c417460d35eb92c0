package callerhttp_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCallerHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callerhttp")
}
