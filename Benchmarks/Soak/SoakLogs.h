#pragma once

#include <string>
#include <vector>

namespace cyclamenstair {

/// Returns one description for each log in `folder` and each event by which a node says that it could not decode a
/// message or a record, or that a handler threw an exception, with the number of lines and the first one. The nodes
/// limit such lines, so that the number is a lower bound. Lines that contain `exceptText` do not count unless it is
/// empty.
std::vector<std::string> findRejectedInput(const std::string& folder, const std::string& exceptText = {});

} // namespace cyclamenstair
