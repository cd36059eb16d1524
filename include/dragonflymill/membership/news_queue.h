#pragma once

#include "dragonflymill/drain/drain_state.h"
#include "dragonflymill/membership/datagram.h"
#include "dragonflymill/membership/member.h"

#include <cstdint>
#include <map>
#include <vector>

namespace dragonflymill {

/// News waiting to be passed on with datagrams: each a bounded number of times, the freshest first.
///
/// Bound: 2,048 members and 64 operators' words; when full, the one told most often goes.
class news_queue
{
public:
    /// Queues news about a member in place of older news about it.
    void add(const member_update& update);
    /// Queues an operator's word in place of an older one on the same subject.
    void add(const drain_notice& word);

    /// Fills a datagram with news of at most `bytes`; each is told at most `times` times in all.
    void fill(datagram& message, std::size_t bytes, std::uint32_t times);

    /// Members with news waiting.
    [[nodiscard]] auto size() const -> std::size_t { return members_.size(); }

private:
    struct member_news
    {
        member_update update;
        std::uint32_t told = 0;
    };
    struct drain_news
    {
        drain_notice word;
        std::uint32_t told = 0;
    };

    std::map<process_id, member_news> members_;
    std::map<drain_subject, drain_news> drains_;
};

/// Upper bound of the bytes that an operator's word takes in a datagram.
[[nodiscard]] auto size_bound(const drain_notice& word) -> std::size_t;

} // namespace dragonflymill
