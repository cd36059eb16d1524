#include "metrics/metric_labels.h"

namespace dragonflymill {

namespace {

auto escaped(const std::string& value) -> std::string
{
    std::string text;
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
    return text;
}

} // namespace

auto to_text(const metric_labels& labels) -> std::string
{
    std::string text;
    for (const metric_label& label : labels) {
        text += (text.empty() ? "{" : ",") + label.name + "=\"" + escaped(label.value) + '"';
    }
    return text.empty() ? text : text + '}';
}

} // namespace dragonflymill
