#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/error.h"
#include "dragonflymill/core/time.h"
#include "settings/socket_address.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Whether a settings file must contain a key.
enum class presence
{
    optional, ///< The default applies if the key is missing.
    required, ///< A missing key is reported as a mistake.
};

/// Section, name and help text of a key.
struct setting_name
{
    const char* section; ///< Section without brackets.
    const char* key;     ///< Name of the key.
    const char* help;    ///< One-line description for the reference and the template.
};

/// Inclusive range of a key's values.
template <typename T>
struct setting_range
{
    T low;  ///< Smallest value allowed.
    T high; ///< Largest value allowed.
};

/// One name of an enumerated setting, with its value.
template <typename T>
struct setting_choice
{
    const char* name; ///< Name in the settings file.
    T value;          ///< Value that the name selects.
};

/// One key of a settings file: its allowed values and the field that receives the value.
struct setting_spec
{
    std::string section;                                  ///< Section without brackets.
    std::string key;                                      ///< Name of the key.
    std::string help;                                     ///< One-line description.
    std::string type;                                     ///< Type of the value, as text.
    std::string allowed;                                  ///< Allowed values, as text.
    std::string default_text;                             ///< Default as it would be written; empty if none.
    presence needed = presence::optional;                 ///< Whether the key is required.
    std::function<result<void>(std::string_view)> assign; ///< Parses and checks a text and stores the value.
};

/// A constraint between several keys, checked only if no single key has a mistake.
struct setting_rule
{
    std::string section;         ///< Section of the key that the mistake is reported for.
    std::string key;             ///< Key that the mistake is reported for.
    std::string message;         ///< Description of the mistake if the constraint is violated.
    std::string remedy;          ///< How to fix it.
    std::function<bool()> holds; ///< Returns whether the constraint is satisfied.
};

/// The keys that a settings file may contain, bound to the fields of a settings struct. A field's value at
/// the time of binding is the key's default. The bound fields must outlive the schema.
class settings_schema
{
public:
    /// Adds a key for any text of one line.
    void text(const setting_name& name, std::string& target, presence needed = presence::optional);
    /// Adds a key for a name of 1 to 64 letters, digits, `-`, `_` and `.`. `Id` is `std::string` or a typed
    /// id.
    template <typename Id>
    void name(const setting_name& where, Id& target, presence needed = presence::optional)
    {
        name_into(where, needed, [&target](std::string text) { target = Id(std::move(text)); });
    }
    /// Adds a key for a name, as `name` does, that `store` receives. It has no default. Used if a name is
    /// stored in several fields.
    void name_into(const setting_name& where, presence needed, std::function<void(std::string)> store);
    /// Adds a key for the path of a file.
    void path(const setting_name& name, std::string& target, presence needed = presence::optional);
    /// Adds a key for up to `most` partners with their public keys, separated by commas.
    void partner_list(const setting_name& name, std::vector<partner_entry>& target, std::size_t most);
    /// Adds a key for `yes` or `no`.
    void flag(const setting_name& name, bool& target);
    /// Adds a key for a non-negative integer.
    void count(const setting_name& name, std::uint64_t& target, setting_range<std::uint64_t> range);
    /// Adds a key for a time with its unit.
    void time(const setting_name& name, duration& target, setting_range<duration> range);
    /// Adds a key for a size in bytes with its unit.
    void size(const setting_name& name, std::uint64_t& target, setting_range<std::uint64_t> range);
    /// Adds a key for a rate with its unit.
    void rate(const setting_name& name, double& target, setting_range<double> range);
    /// Adds a key for an IP address with a port.
    void address(const setting_name& name, socket_address& target, presence needed = presence::optional);
    /// Adds a key for up to `most` IP addresses with ports, separated by commas.
    void address_list(const setting_name& name, std::vector<socket_address>& target, std::size_t most);

    /// Adds a key for one of `choices`.
    template <typename T, std::size_t N>
    void choice(const setting_name& name, T& target, const setting_choice<T> (&choices)[N]) // NOLINT
    {
        std::vector<std::string> names;
        std::vector<T> values;
        std::string standing;
        for (const auto& c : choices) {
            names.emplace_back(c.name);
            values.push_back(c.value);
            standing = c.value == target ? c.name : standing;
        }
        add_choice(name, std::move(names), standing,
                   [&target, values](std::size_t index) { target = values[index]; });
    }

    /// Adds a constraint between several keys.
    void rule(setting_rule checked);

    /// Returns every key in order of declaration.
    [[nodiscard]] auto specs() const -> std::span<const setting_spec> { return specs_; }
    /// Returns every rule in order of declaration.
    [[nodiscard]] auto rules() const -> std::span<const setting_rule> { return rules_; }

private:
    using assign_function = std::function<result<void>(std::string_view)>;
    struct value_kind;

    void add(const setting_name& name, value_kind kind, presence needed, assign_function assign);
    void add_choice(const setting_name& name, std::vector<std::string> names, const std::string& standing,
                    std::function<void(std::size_t)> store);

    std::vector<setting_spec> specs_;
    std::vector<setting_rule> rules_;
};

} // namespace dragonflymill
