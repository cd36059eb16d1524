#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflymill::test {

/// Options of one test's fleet.
struct fleet_options
{
    std::string time_scale = "1";            ///< Factor by which the engines' times are stretched.
    std::string first_model = "assistant-1"; ///< First model of engine-1; the bundle declares assistant-1.
    bool relays = false;                     ///< Whether gateways reach the engines' sidecars through relays.
    bool config_service = false; ///< Whether a configuration service runs, with the fleet's first bundle.
    std::string gateway_lines;   ///< Further lines of the gateways' settings.
};

/// Folder, ports, keys, settings files and bundles of one test's fleet. The destructor removes the folder.
class fleet_files
{
public:
    /// Creates the folder, chooses ports and writes keys.
    fleet_files();
    fleet_files(const fleet_files&) = delete;
    auto operator=(const fleet_files&) -> fleet_files& = delete;
    ~fleet_files();

    /// Path of a file in the folder.
    [[nodiscard]] auto path(const std::string& name) const -> std::string;
    /// Address of a process's listener: 0 for its service, 1 for admin, 2 for control (UDP), 3 for peers.
    [[nodiscard]] auto listener(const std::string& name, std::size_t number) const -> std::string;
    /// Sets the address under which bundles list a sidecar.
    void set_sidecar_address(const std::string& name, const std::string& address);
    /// Sets the configuration service of processes whose settings are written from now on.
    void set_config_service(const std::string& address);
    /// Adds lines to the settings of gateways that are written from now on.
    void add_gateway_lines(const std::string& lines) { gateway_lines_ += lines; }
    /// Makes processes whose settings are written from now on query their peers before they serve.
    void ask_peers_at_start();
    /// Writes and signs the bundle of `version`; returns its path.
    auto sign_bundle(int version) -> std::string;
    /// Writes the settings of a sidecar of `upstream`; returns their path.
    [[nodiscard]] auto sidecar_settings(const std::string& name, const std::string& upstream) const
        -> std::string;
    /// Writes a gateway's settings; returns their path.
    [[nodiscard]] auto gateway_settings(const std::string& name) const -> std::string;
    /// Runs `dragonflymill` with the arguments `words` and returns its output; fails the test if the command
    /// fails.
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
    std::string gateway_lines_;
    bool standalone_ = true;
};

} // namespace dragonflymill::test
