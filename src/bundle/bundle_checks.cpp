#include "dragonflymill/bundle/bundle_checks.h"

#include <algorithm>
#include <set>

namespace dragonflymill {

namespace {

// Checks each rule in its own method; violations are reported in the order of the rules.
class bundle_checker
{
public:
    explicit bundle_checker(const bundle& value)
        : bundle_(value)
    {
        collect_ids("failure_domain", value.domains, domains_);
        collect_ids("upstream", value.upstreams, upstreams_);
        collect_ids("model", value.models, models_);
        collect_ids("route", value.service_routes, routes_);
        collect_ids("account", value.accounts, accounts_);
        for (const auto& partner : value.partners) {
            if (!partners_.insert(partner.name).second) {
                add("partner " + partner.name, "", "named twice", "keep one of the two");
            }
        }
    }

    auto run() -> std::vector<bundle_fault>
    {
        check_bundle_section();
        for (const auto& entry : bundle_.upstreams) {
            check_upstream(entry);
        }
        check_models();
        for (const auto& entry : bundle_.service_routes) {
            check_route(entry);
        }
        check_accounts();
        return std::move(faults_);
    }

private:
    void add(std::string section, std::string key, std::string problem, std::string remedy)
    {
        faults_.push_back({std::move(section), std::move(key), std::move(problem), std::move(remedy)});
    }

    template <typename Entry, typename Id>
    void collect_ids(const std::string& kind, const std::vector<Entry>& entries, std::set<Id>& ids)
    {
        for (const auto& entry : entries) {
            if (!ids.insert(entry.id).second) {
                add(kind + " " + entry.id.text(), "", "named twice", "keep one of the two");
            }
        }
    }

    void check_bundle_section()
    {
        if (bundle_.version.value() == 0) {
            add("bundle", "version", "is 0", "start at 1 and raise it with every bundle");
        }
        if (bundle_.partners.size() != 2) {
            add("bundle", "", "names " + std::to_string(bundle_.partners.size()) + " partners",
                "name the two that sign, each in a [partner NAME] section");
        }
        const bool any_in_service = std::any_of(bundle_.domains.begin(), bundle_.domains.end(),
                                                [](const auto& domain) { return domain.in_service; });
        if (!bundle_.domains.empty() && !any_in_service) {
            add("failure_domain " + bundle_.domains.front().id.text(), "in_service",
                "no failure domain is in service", "leave at least one in service");
        }
    }

    void check_upstream(const upstream_entry& entry)
    {
        const auto section = "upstream " + entry.id.text();
        if (!domains_.contains(entry.domain)) {
            add(section, "failure_domain", "'" + entry.domain.text() + "' is not a failure domain",
                "add [failure_domain " + entry.domain.text() + "] or name one that is there");
        }
        for (const auto& model : entry.models) {
            if (!models_.contains(model)) {
                add(section, "models", "'" + model.text() + "' is not a model",
                    "add [model " + model.text() + "] or take it out");
            }
        }
        if (entry.max_outstanding <= 0) {
            add(section, "max_outstanding", "is not above 0", "give the work it carries when warm");
        }
        if (entry.cold_outstanding <= 0 || entry.cold_outstanding > entry.max_outstanding) {
            add(section, "cold_outstanding", "is not between 1 and max_outstanding",
                "give what it carries in cold start, at most what it carries warm");
        }
        check_kind(entry, section);
    }

    void check_kind(const upstream_entry& entry, const std::string& section)
    {
        const bool engine = entry.kind == upstream_kind::engine;
        if (engine && entry.memory_tokens <= 0) {
            add(section, "memory", "an engine without memory", "give its KV cache in tokens, such as 500k");
        }
        if (engine && entry.models.empty()) {
            add(section, "models", "an engine without models", "name at least one model");
        }
        if (!engine && !entry.models.empty()) {
            add(section, "models", "a service with models", "take models out, or set kind = engine");
        }
    }

    void check_models()
    {
        for (const auto& model : bundle_.models) {
            const auto section = "model " + model.id.text();
            token_count memory = 0;
            for (const auto& entry : bundle_.upstreams) {
                if (std::find(entry.models.begin(), entry.models.end(), model.id) != entry.models.end()) {
                    memory += entry.memory_tokens;
                }
            }
            if (model.max_prompt_tokens <= 0) {
                add(section, "max_prompt", "is not above 0", "give the longest prompt taken, such as 1m");
            }
            else if (memory < model.max_prompt_tokens) {
                add(section, "max_prompt",
                    "is longer than all engines of the model can hold together (" + std::to_string(memory) +
                        " tokens)",
                    "lower it or give the model to more engines");
            }
        }
    }

    void check_route(const service_route_entry& route)
    {
        const auto section = "route " + route.id.text();
        if (route.upstreams.empty()) {
            add(section, "upstreams", "names none", "name at least one upstream of kind service");
        }
        for (const auto& id : route.upstreams) {
            check_route_upstream(section, id);
        }
        if (route.time_limit <= duration::zero()) {
            add(section, "time_limit", "is not above 0", "give the longest time for a call, such as 10s");
        }
        if (!route.idempotent && route.remember_for < 2 * route.time_limit) {
            add(section, "remember_for", "is under twice the time limit",
                "raise it, so that a caller's retry still meets the outcome of its first try");
        }
    }

    void check_route_upstream(const std::string& section, const upstream_id& id)
    {
        const auto found = std::find_if(bundle_.upstreams.begin(), bundle_.upstreams.end(),
                                        [&id](const auto& entry) { return entry.id == id; });
        if (found == bundle_.upstreams.end()) {
            add(section, "upstreams", "'" + id.text() + "' is not an upstream",
                "add [upstream " + id.text() + "] or take it out");
        }
        else if (found->kind != upstream_kind::service) {
            add(section, "upstreams", "'" + id.text() + "' is an engine",
                "name upstreams of kind service only; engines are reached by model");
        }
    }

    void check_accounts()
    {
        std::set<std::string> keys;
        for (const auto& account : bundle_.accounts) {
            const auto section = "account " + account.id.text();
            if (!partners_.contains(account.partner)) {
                add(section, "partner", "'" + account.partner + "' is not a partner",
                    "name one of the two [partner NAME] sections");
            }
            if (!keys.insert(account.key_sha256).second) {
                add(section, "key_sha256", "is another account's", "give each account a token of its own");
            }
            if (account.requests_per_second <= 0 || account.tokens_per_second <= 0 ||
                account.max_in_flight == 0) {
                add(section, "requests", "a limit is 0", "raise requests, tokens and max_in_flight above 0");
            }
            else if (account.tokens_per_second < account.requests_per_second) {
                add(section, "tokens", "allows less than a token a request",
                    "raise tokens or lower requests");
            }
        }
    }

    const bundle& bundle_;
    std::set<failure_domain_id> domains_;
    std::set<upstream_id> upstreams_;
    std::set<model_id> models_;
    std::set<route_id> routes_;
    std::set<client_account_id> accounts_;
    std::set<std::string> partners_;
    std::vector<bundle_fault> faults_;
};

} // namespace

auto check_bundle(const bundle& value) -> std::vector<bundle_fault>
{
    return bundle_checker(value).run();
}

} // namespace dragonflymill
