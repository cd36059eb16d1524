#pragma once

#include "dragonflymill/core/time.h"

namespace dragonflymill::test {

/// The instant `since` after the start of a test's virtual clock.
inline auto at(duration since) -> instant
{
    return instant(since);
}

} // namespace dragonflymill::test
