package fleet

import (
	"fmt"
	"os"
	"path/filepath"
)

// Secure makes an authority and a probe key with the program. Daemons that are started afterwards are
// authenticated to each other.
func (f *Fleet) Secure() error {
	if _, err := f.Run("keys", "new-authority", "--certificate", f.file("authority.crt"), "--private-key", f.file("authority.key")); err != nil {
		return err
	}
	if _, err := f.Run("keys", "new-probe-key", "--output", f.file("probe.keys")); err != nil {
		return err
	}
	f.secured = true
	return nil
}

func (f *Fleet) file(name string) string { return filepath.Join(f.Dir, name) }

// securitySection returns the section of the settings of i, and issues its certificate at the first
// start. It is empty without authentication.
func (f *Fleet) securitySection(i *Instance) (string, error) {
	if !f.secured {
		return "", nil
	}
	certificate, key := f.file(i.Name+".crt"), f.file(i.Name+".key")
	if _, err := os.Stat(certificate); os.IsNotExist(err) {
		_, err := f.Run("keys", "issue", "--authority", f.file("authority.crt"), "--authority-key", f.file("authority.key"),
			"--address", i.RPC.Addr().String(), "--name", i.Name, "--certificate", certificate, "--private-key", key)
		if err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("[security]\ncertificate = %s\nprivate-key = %s\nauthority = %s\nprobe-keys = %s\n",
		certificate, key, f.file("authority.crt"), f.file("probe.keys")), nil
}
