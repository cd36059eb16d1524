#include "settings/settings_mistake.h"

namespace dragonflymill {

auto to_text(const settings_mistake& mistake) -> std::string
{
    std::string text = mistake.file;
    if (mistake.line > 0) {
        text += ':' + std::to_string(mistake.line);
    }
    text += ": ";
    if (!mistake.section.empty()) {
        text += '[' + mistake.section + "] ";
    }
    if (!mistake.key.empty()) {
        text += mistake.key + ": ";
    }
    text += mistake.message;
    if (!mistake.allowed.empty()) {
        text += "; allowed: " + mistake.allowed;
    }
    if (!mistake.remedy.empty()) {
        text += "; " + mistake.remedy;
    }
    return text;
}

auto to_text(const std::vector<settings_mistake>& mistakes) -> std::string
{
    std::string text;
    for (const settings_mistake& mistake : mistakes) {
        text += to_text(mistake) + '\n';
    }
    return text;
}

} // namespace dragonflymill
