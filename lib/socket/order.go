//go:build !race

package socket

func beforeSend()   {}
func afterReceive() {}
