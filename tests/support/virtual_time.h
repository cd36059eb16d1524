#pragma once

#include "dragonflymill/core/time.h"

namespace dragonflymill::test {

/// The moment of a test's virtual clock that is `since` after its start.
inline auto at(duration since) -> instant
{
    return instant(since);
}

} // namespace dragonflymill::test
