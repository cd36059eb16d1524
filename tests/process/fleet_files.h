#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflymill::test {

/// What differs from one test's fleet to the next.
struct fleet_options
{
    std::string time_scale = "1";            ///< The engines' times run at this multiple of real time.
    std::string first_model = "assistant-1"; ///< What engine-1 starts with; the bundle wants assistant-1.
    bool relays = false;                     ///< Whether engines' sidecars are reached through relays.
    bool config_service = false;             ///< Whether there is one, with the fleet's first bundle.
};

/// Folder, ports, keys, settings files and bundles of one test's fleet. The folder goes with this object.
class fleet_files
{
public:
    /// Chooses ports and writes keys.
    fleet_files();
    fleet_files(const fleet_files&) = delete;
    auto operator=(const fleet_files&) -> fleet_files& = delete;
    ~fleet_files();

    /// Path of a file of the fleet.
    [[nodiscard]] auto path(const std::string& name) const -> std::string;
    /// Address of a process's listener: 0 its service, 1 admin, 2 and 3 control.
    [[nodiscard]] auto listener(const std::string& name, std::size_t number) const -> std::string;
    /// Where gateways find a sidecar.
    void set_sidecar_address(const std::string& name, const std::string& address);
    /// Where processes that are started from now on find the configuration service.
    void set_config_service(const std::string& address);
    /// Processes that are started from now on ask their peers before they serve.
    void ask_peers_at_start();
    /// Writes and signs the bundle of that version; its path.
    auto sign_bundle(int version) -> std::string;
    /// Writes a sidecar's settings beside an upstream; their path.
    [[nodiscard]] auto sidecar_settings(const std::string& name, const std::string& upstream) const
        -> std::string;
    /// Writes a gateway's settings; their path.
    [[nodiscard]] auto gateway_settings(const std::string& name) const -> std::string;
    /// Runs `dragonflymill` with `words`, and ends the test if it fails; what it printed.
    static auto command(const std::vector<std::string>& words) -> std::string;

private:
    void take_ports();
    void write(const std::string& name, const std::string& text) const;
    [[nodiscard]] auto new_key(const std::string& partner) const -> std::string;
    [[nodiscard]] auto engine_section(const std::string& name) const -> std::string;
    [[nodiscard]] auto bundle_text(int version) const -> std::string;
    [[nodiscard]] auto common(const std::string& process, const std::string& name) const -> std::string;

    std::string folder_;
    std::map<std::string, std::array<std::uint16_t, 4>> ports_;
    std::map<std::string, std::string> sidecars_;
    std::map<std::string, std::string> keys_;
    std::string config_service_;
    bool standalone_ = true;
};

} // namespace dragonflymill::test
