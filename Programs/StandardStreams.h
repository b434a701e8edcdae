#pragma once

namespace cyclamenstair {

// When a program is linked with this file, closed standard descriptors (0, 1, 2) are replaced by /dev/null before the
// constructors of its libraries run. Otherwise the first sockets get these numbers, and lines of the log are written
// into connections.

/// Ignores the signals of failed writes, so that the writes return errors instead: SIGPIPE (no reader), SIGXFSZ (the
/// limit of the file's size), and SIGTTOU (output of a background process to a terminal), which stops the process.
void ignoreOutputSignals();

} // namespace cyclamenstair
