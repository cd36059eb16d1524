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

/// What can be taken out of service: a failure domain or one host.
using drain_subject = std::variant<failure_domain_id, host_id>;

/// Who said that something is out of service.
enum class drain_source
{
    bundle,      ///< The bundle in force: `in_service = no` of a failure domain.
    operators,   ///< An operator's word, spread from process to process.
    host_list,   ///< The platform's host list says `leaving`.
    own_process, ///< The process on the host said that it is leaving.
};

/// Name of a source, as it stands in logs and status.
[[nodiscard]] auto to_string(drain_source source) -> const char*;

/// An operator's word. Of two words on one subject the one with the higher number counts; of two with one
/// number the one that says "out".
struct drain_notice
{
    drain_subject subject;    ///< What it is about.
    std::uint64_t number = 0; ///< Rises with every word on the subject.
    bool out = true;          ///< Out of service, or in again.

    friend auto operator==(const drain_notice&, const drain_notice&) -> bool = default;
};

/// A host as the platform lists it.
struct listed_host
{
    host_id host;          ///< The host.
    bool leaving = false;  ///< Whether it is about to go.
    std::string address{}; ///< Its IP number.

    friend auto operator==(const listed_host&, const listed_host&) -> bool = default;
};

/// Since when something is out of service, and by whose word.
struct drain_status
{
    instant since{};                        ///< When the first word arrived here.
    drain_source by = drain_source::bundle; ///< Who said so first.
    friend auto operator==(const drain_status&, const drain_status&) -> bool = default;
};

/// Bounds of a drain state.
struct drain_limits
{
    std::size_t max_hosts = 4'096; ///< Hosts remembered; at the bound the longest silent one is dropped.
    std::size_t max_words = 256;   ///< Operators' words kept; at the bound a new subject is refused.
    duration forget_after = 1h;    ///< A host neither listed nor heard of for so long is forgotten.
};

/// Decides what takes no new work. Words come by bundle, by the operators' command, by the host list and
/// from leaving processes; each path lags in its own way, so the first word of "out" by any path counts, and
/// each path takes back only its own word, by a newer one.
class drain_state
{
public:
    /// Nothing is out of service yet.
    explicit drain_state(drain_limits limits = {});

    /// A bundle was put in force.
    void bundle_adopted(instant now, const bundle& value);
    /// The host list was read. It lags: `live` alone undoes nothing, and absence means nothing.
    void host_list_read(instant now, const std::vector<listed_host>& hosts);
    /// The process on a host is heard of: its start, and whether it is leaving.
    void process_heard(instant now, const host_id& host, incarnation start, bool leaving);
    /// An operator's word arrived. True if it is news, to be passed on.
    [[nodiscard]] auto operator_said(instant now, const drain_notice& word) -> bool;

    /// Status of a failure domain; nothing if it is in service.
    [[nodiscard]] auto status(const failure_domain_id& domain) const -> std::optional<drain_status>;
    /// Status of a host itself; nothing if it is in service.
    [[nodiscard]] auto status(const host_id& host) const -> std::optional<drain_status>;
    /// Whether new work may go to a host in a failure domain. Both ends ask: gateways before they choose,
    /// sidecars before they grant.
    [[nodiscard]] auto accepts_new_work(const failure_domain_id& domain, const host_id& host) const -> bool;
    /// Failure domains out of service, sorted.
    [[nodiscard]] auto drained_domains() const -> std::vector<failure_domain_id>;
    /// Hosts out of service, sorted.
    [[nodiscard]] auto drained_hosts() const -> std::vector<host_id>;
    /// Operators' words, to be told to other processes.
    [[nodiscard]] auto words() const -> std::vector<drain_notice>;
    /// Number that a new operator's word on the subject needs to count.
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
