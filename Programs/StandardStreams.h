#pragma once

namespace cyclamenstair {

/// Ignores the signals of failed writes, so that the writes return errors instead: SIGPIPE (no reader), SIGXFSZ (the
/// limit of the file's size), and SIGTTOU (output of a background process to a terminal), which stops the process.
void ignoreOutputSignals();

} // namespace cyclamenstair
