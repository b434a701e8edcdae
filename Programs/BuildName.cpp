// Only this file depends on the commit, so that another commit compiles no other file again.
#include <Programs/BuildName.h>

namespace cyclamenstair {

const char* const buildName = CYCLAMENSTAIR_BUILD;

} // namespace cyclamenstair
