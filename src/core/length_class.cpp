#include "dragonflymill/core/length_class.h"

namespace dragonflymill {

auto to_string(length_class value) -> const char*
{
    switch (value) {
    case length_class::interactive:
        return "interactive";
    case length_class::medium:
        return "medium";
    case length_class::bulk:
        return "bulk";
    case length_class::gang:
        return "gang";
    }
    return "gang";
}

auto classify(token_count prefill, token_count total, token_count engine_memory) -> length_class
{
    if (total > engine_memory) {
        return length_class::gang;
    }
    if (prefill <= interactive_limit) {
        return length_class::interactive;
    }
    return prefill <= medium_limit ? length_class::medium : length_class::bulk;
}

} // namespace dragonflymill
