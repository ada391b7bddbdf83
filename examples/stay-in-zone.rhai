// Requests of this host stay in the zone in which they came in.
if host.ends_with("booking.example") {
    #{ zones: zones.filter(|other| other == zone) }
}
