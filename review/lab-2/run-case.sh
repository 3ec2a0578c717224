# Read by the run.sh of a case, with the case's name in the lab as the argument and its folder in $here.
# RECORD names another file than record.txt beside the script.
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
lab=target/release/review2-lab
program=target/release/quartzlever
if [ ! -x "$lab" ] || [ ! -x "$program" ]; then
    echo "not built: run the build of deploy/service.toml, then review/build-2.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
end() {
    # The lab ends its controllers itself; this is for a lab that was killed.
    if [ -f "$folder/processes" ]; then
        while read -r process; do
            [ "$(cat "/proc/$process/comm" 2>/dev/null)" = quartzlever ] && kill -9 "$process" 2>/dev/null
        done <"$folder/processes"
    fi
    rm -rf "$folder"
}
trap end EXIT
timeout -k 1 119 "$lab" "$1" "${RECORD:-$here/record.txt}" "$program" "$folder"
status=$?
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
