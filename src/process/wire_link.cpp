#include "process/wire_link.h"

#include "adapters/logging.h"

#include <nlohmann/json.hpp>

namespace camphorrail::process {

wire_link::wire_link(adapters::link_ptr transport, base::instant now)
    : transport(std::move(transport)), heard_at(now) {
    this->transport->opened.connect([this] {
        this->is_open = true;
        this->opened.emit();
    });
    this->transport->closed.connect([this] {
        this->is_open = false;
        this->lost.emit();
    });
    this->transport->received.connect([this](std::string_view bytes) { this->read(bytes); });
}

void wire_link::send(const wire::message& value) {
    this->sent_lately = true;
    this->transport->send(wire::encode(value));
}

void wire_link::beat(const wire::heartbeat& value) {
    if (!this->sent_lately) {
        this->send(value);
    }
    this->sent_lately = false;
}

void wire_link::read(std::string_view bytes) {
    const auto message = wire::decode(bytes);
    if (!message.has_value()) {
        adapters::log(adapters::log_level::warning, "frame_refused",
                      {{"code", message.error().value()}, {"bytes", bytes.size()}});
        this->is_open = false;
        this->transport->close();
        this->lost.emit();
        return;
    }
    this->received.emit(message.value());
}

} // namespace camphorrail::process
