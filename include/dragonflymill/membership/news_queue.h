#pragma once

#include "dragonflymill/drain/drain_state.h"
#include "dragonflymill/membership/datagram.h"
#include "dragonflymill/membership/member.h"

#include <cstdint>
#include <map>
#include <vector>

namespace dragonflymill {

/// Updates queued for propagation with datagrams: each is sent a bounded number of times, the least sent
/// first.
///
/// Bound: 2,048 members and 64 operators' notices; when full, the update sent most often is evicted.
class news_queue
{
public:
    /// Queues an update about a member; replaces a queued one about the same member.
    void add(const member_update& update);
    /// Queues an operator's notice; replaces a queued one on the same subject.
    void add(const drain_notice& word);

    /// Adds updates of at most `bytes` bytes to a datagram; each is sent at most `times` times in total.
    void fill(datagram& message, std::size_t bytes, std::uint32_t times);

    /// Number of queued member updates.
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

/// Upper bound of the encoded size of an operator's notice, in bytes.
[[nodiscard]] auto size_bound(const drain_notice& word) -> std::size_t;

} // namespace dragonflymill
