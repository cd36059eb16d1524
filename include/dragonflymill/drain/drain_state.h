#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/ids.h"
#include "dragonflymill/core/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflymill {

/// Subject of a drain: a failure domain or a host.
using drain_subject = std::variant<failure_domain_id, host_id>;

/// Origin of a drain.
enum class drain_source
{
    bundle,      ///< The bundle in force has `in_service = no` for the failure domain.
    operators,   ///< An operator's drain command, spread by gossip.
    host_list,   ///< The platform's host list shows `leaving`.
    own_process, ///< The process on the host announced that it is leaving.
};

/// Name of a drain source as written to logs and status.
[[nodiscard]] auto to_string(drain_source source) -> const char*;

/// An operator's drain command. Of two notices on one subject the one with the higher number wins; with equal
/// numbers the one that drains wins.
struct drain_notice
{
    drain_subject subject;    ///< Failure domain or host concerned.
    std::uint64_t number = 0; ///< Increases with every notice on the subject.
    bool out = true;          ///< Whether the subject is drained or back in service.

    friend auto operator==(const drain_notice&, const drain_notice&) -> bool = default;
};

/// A host in the platform's host list.
struct listed_host
{
    host_id host;          ///< Id of the host.
    bool leaving = false;  ///< Whether the platform is about to remove it.
    std::string address{}; ///< IP address.

    friend auto operator==(const listed_host&, const listed_host&) -> bool = default;
};

/// Since when something is drained, and by which source.
struct drain_status
{
    instant since{}; ///< When this process received the earliest drain still in effect.
    drain_source by = drain_source::bundle; ///< Source of that drain.
    friend auto operator==(const drain_status&, const drain_status&) -> bool = default;
};

/// Limits of a `drain_state`.
struct drain_limits
{
    std::size_t max_hosts = 4'096; ///< Maximum hosts; when full, the one not seen for longest is removed.
    std::size_t max_words = 256;   ///< Maximum operators' notices; when full, a new subject is rejected.
    duration forget_after = 1h;    ///< A host that is neither listed nor seen for this long is removed.
};

/// Decides which hosts and failure domains accept no new work. Drains arrive by bundle, by operators'
/// commands, by the host list and from leaving processes. Each source lags in its own way, so the earliest
/// drain from any source takes effect, and each source ends only its own drain, with a newer message.
class drain_state
{
public:
    /// Starts with everything in service.
    explicit drain_state(drain_limits limits = {});

    /// Applies a bundle that came into force; an older version is ignored.
    void bundle_adopted(instant now, const bundle& value);
    /// Applies the host list. As the list lags, `live` alone ends no drain, and a missing host means nothing.
    void host_list_read(instant now, const std::vector<listed_host>& hosts);
    /// Applies the incarnation and the leaving flag that the process on a host announced.
    void process_heard(instant now, const host_id& host, incarnation start, bool leaving);
    /// Applies an operator's notice. Returns true if it is new and must be propagated.
    [[nodiscard]] auto operator_said(instant now, const drain_notice& word) -> bool;

    /// Drain status of a failure domain; empty if it is in service.
    [[nodiscard]] auto status(const failure_domain_id& domain) const -> std::optional<drain_status>;
    /// Drain status of a host, regardless of its failure domain; empty if it is in service.
    [[nodiscard]] auto status(const host_id& host) const -> std::optional<drain_status>;
    /// Whether a host in a failure domain accepts new work. Gateways check it before they route, sidecars
    /// before they admit.
    [[nodiscard]] auto accepts_new_work(const failure_domain_id& domain, const host_id& host) const -> bool;
    /// Drained failure domains, sorted.
    [[nodiscard]] auto drained_domains() const -> std::vector<failure_domain_id>;
    /// Drained hosts, sorted.
    [[nodiscard]] auto drained_hosts() const -> std::vector<host_id>;
    /// Operators' notices, for replication to other processes.
    [[nodiscard]] auto words() const -> std::vector<drain_notice>;
    /// Number that the next operator's notice on the subject needs.
    [[nodiscard]] auto next_number(const drain_subject& subject) const -> std::uint64_t;

private:
    struct operator_entry
    {
        drain_notice word;
        instant since{};
    };

    struct host_entry
    {
        std::optional<instant> listed_leaving;
        incarnation leaving_start;
        std::optional<instant> said_leaving;
        incarnation said_start;
        incarnation start;
        instant heard{};
    };

    [[nodiscard]] auto host_entry_of(instant now, const host_id& host) -> host_entry&;
    [[nodiscard]] auto operator_out(const drain_subject& subject) const -> std::optional<drain_status>;
    void forget_hosts(instant now);

    drain_limits limits_;
    std::map<failure_domain_id, instant> out_by_bundle_;
    bundle_version bundle_version_;
    std::map<drain_subject, operator_entry> operators_;
    std::map<host_id, host_entry> hosts_;
};

} // namespace dragonflymill
