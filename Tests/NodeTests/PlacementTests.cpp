#include <Tests/Support/ProcessFleet.h>
